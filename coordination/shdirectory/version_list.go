package shdirectory

import (
	"container/list"
	"iter"

	"sequoiahollow/state/shmodel"
)

// versionList keeps VMs in the order of the version at which they last changed.
// Finding the VMs after a version takes time proportional to their number.
type versionList struct {
	elements map[shmodel.VM]*list.Element
	order    list.List
}

type versionedVM struct {
	vm      shmodel.VM
	version uint64
}

// moveToEnd moves a VM to the end, or adds it. Versions must increase.
func (j *versionList) moveToEnd(vm shmodel.VM, version uint64) {
	j.remove(vm)
	if j.elements == nil {
		j.elements = map[shmodel.VM]*list.Element{}
	}
	j.elements[vm] = j.order.PushBack(versionedVM{vm: vm, version: version})
}

// remove removes a VM and returns its version, or 0 if it is not in the list.
func (j *versionList) remove(vm shmodel.VM) uint64 {
	e := j.elements[vm]
	if e == nil {
		return 0
	}
	delete(j.elements, vm)
	return j.order.Remove(e).(versionedVM).version
}

// after returns the VMs that changed after a version, the latest first.
func (j *versionList) after(version uint64) iter.Seq[shmodel.VM] {
	return func(yield func(shmodel.VM) bool) {
		for e := j.order.Back(); e != nil; e = e.Prev() {
			t := e.Value.(versionedVM)
			if t.version <= version || !yield(t.vm) {
				return
			}
		}
	}
}
