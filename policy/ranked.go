package policy

// ranked is a set of servers in the order of their IDs, with access by rank. It is a treap in one slice:
// insert, remove and at visit O(log n) entries on average. The tree's shape doesn't depend on the order of
// the changes that led to it.
type ranked struct {
	entries []rankedEntry // the first is a placeholder, so that index 0 means none
	root    uint32
	unused  uint32 // head of the list of unused entries, linked by left
	visits  int    // number of entries visited, for tests
}

// rankedEntry is a server and the root of its subtree. Its children are indices into the slice; 0 means none.
type rankedEntry struct {
	id          ServerID
	size        uint32 // servers in the subtree
	left, right uint32
}

func newRanked() *ranked { return &ranked{entries: make([]rankedEntry, 1)} }

func (t *ranked) len() int { return int(t.entries[t.root].size) }

// priority orders parents above children. It is independent of the order of the IDs.
func priority(id ServerID) uint32 {
	h := uint32(id)
	h = (h ^ h>>16) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return h ^ h>>16
}

// insert adds a server. The server must not be in the set.
func (t *ranked) insert(id ServerID) {
	t.root = t.insertUnder(t.root, t.newEntry(id))
}

// remove removes a server. The server must be in the set.
func (t *ranked) remove(id ServerID) {
	t.root = t.removeUnder(t.root, id)
}

// at returns the server at a rank, from 0 to len-1.
func (t *ranked) at(rank int) ServerID {
	at, remaining := t.root, uint32(rank)
	for {
		t.visits++
		e := &t.entries[at]
		smaller := t.entries[e.left].size
		switch {
		case remaining < smaller:
			at = e.left
		case remaining == smaller:
			return e.id
		default:
			at, remaining = e.right, remaining-smaller-1
		}
	}
}

// newEntry allocates an entry for a server, an unused one if there is any.
func (t *ranked) newEntry(id ServerID) uint32 {
	entry := rankedEntry{id: id, size: 1}
	if at := t.unused; at != 0 {
		t.unused = t.entries[at].left
		t.entries[at] = entry
		return at
	}
	t.entries = append(t.entries, entry)
	return uint32(len(t.entries) - 1)
}

// insertUnder inserts an entry into a subtree and returns the subtree's new root.
func (t *ranked) insertUnder(root, added uint32) uint32 {
	if root == 0 {
		return added
	}
	t.visits++
	e, a := &t.entries[root], &t.entries[added]
	if priority(a.id) > priority(e.id) {
		a.left, a.right = t.split(root, a.id)
		t.resize(added)
		return added
	}
	if a.id < e.id {
		e.left = t.insertUnder(e.left, added)
	} else {
		e.right = t.insertUnder(e.right, added)
	}
	t.resize(root)
	return root
}

// split divides a subtree into the servers below an ID and the rest.
func (t *ranked) split(root uint32, id ServerID) (below, rest uint32) {
	if root == 0 {
		return 0, 0
	}
	t.visits++
	e := &t.entries[root]
	if e.id < id {
		e.right, rest = t.split(e.right, id)
		t.resize(root)
		return root, rest
	}
	below, e.left = t.split(e.left, id)
	t.resize(root)
	return below, root
}

// removeUnder removes a server from a subtree and returns the subtree's new root.
func (t *ranked) removeUnder(root uint32, id ServerID) uint32 {
	if root == 0 {
		return 0
	}
	t.visits++
	e := &t.entries[root]
	switch {
	case e.id == id:
		rest := t.merge(e.left, e.right)
		t.entries[root] = rankedEntry{left: t.unused}
		t.unused = root
		return rest
	case id < e.id:
		e.left = t.removeUnder(e.left, id)
	default:
		e.right = t.removeUnder(e.right, id)
	}
	t.resize(root)
	return root
}

// merge joins two subtrees. All servers of the first must come before all of the second.
func (t *ranked) merge(first, second uint32) uint32 {
	if first == 0 {
		return second
	}
	if second == 0 {
		return first
	}
	t.visits++
	a, b := &t.entries[first], &t.entries[second]
	if priority(a.id) > priority(b.id) {
		a.right = t.merge(a.right, second)
		t.resize(first)
		return first
	}
	b.left = t.merge(first, b.left)
	t.resize(second)
	return second
}

// resize recomputes an entry's size from its children.
func (t *ranked) resize(at uint32) {
	e := &t.entries[at]
	e.size = t.entries[e.left].size + t.entries[e.right].size + 1
}
