package shraft

func (n *Node) transfer(ev Transfer) {
	if n.leadership == nil {
		n.refuse(ev.Token, NotLeader)
		return
	}
	if !n.leadership.transferTo.IsZero() {
		n.refuse(ev.Token, Transferring)
		return
	}
	to := ev.To
	if to.IsZero() {
		to = n.leadership.bestSuccessor(n)
	}
	if to == n.config.ID || !n.membership().IsVoter(to) {
		n.refuse(ev.Token, NoSuchMember)
		return
	}
	n.leadership.transferTo = to
	n.leadership.transferToken = ev.Token
	n.leadership.transferSince = n.now
	n.leadership.timeoutNowSent = false
	n.continueTransfer()
}

// bestSuccessor returns the active voter whose log is longest, zero if none.
func (l *leadership) bestSuccessor(n *Node) ID {
	var best ID
	for _, m := range n.membership().Voters {
		p := l.members[m.ID]
		if p == nil || !l.isActive(n, m.ID) {
			continue
		}
		if best.IsZero() || p.match > l.members[best].match {
			best = m.ID
		}
	}
	return best
}

// continueTransfer tells the successor to campaign once its log is complete.
func (n *Node) continueTransfer() {
	l := n.leadership
	if l.transferTo.IsZero() || l.timeoutNowSent {
		return
	}
	if p := l.members[l.transferTo]; p != nil && p.match == n.log.lastIndex() {
		l.timeoutNowSent = true
		n.send(l.transferTo, TimeoutNow{})
	}
}
