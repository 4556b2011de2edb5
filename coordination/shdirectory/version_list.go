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
func (l *versionList) moveToEnd(vm shmodel.VM, version uint64) {
	l.remove(vm)
	if l.elements == nil {
		l.elements = map[shmodel.VM]*list.Element{}
	}
	l.elements[vm] = l.order.PushBack(versionedVM{vm: vm, version: version})
}

// remove removes a VM and returns its version, or 0 if it is not in the list.
func (l *versionList) remove(vm shmodel.VM) uint64 {
	e := l.elements[vm]
	if e == nil {
		return 0
	}
	delete(l.elements, vm)
	return l.order.Remove(e).(versionedVM).version
}

// after returns the VMs that changed after a version, the latest first.
func (l *versionList) after(version uint64) iter.Seq[shmodel.VM] {
	return func(yield func(shmodel.VM) bool) {
		for e := l.order.Back(); e != nil; e = e.Prev() {
			t := e.Value.(versionedVM)
			if t.version <= version || !yield(t.vm) {
				return
			}
		}
	}
}
