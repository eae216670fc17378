package group

// maxMembers is the maximum size of an electorate: a memberSet has 64 bits.
const maxMembers = 64

// Electorate lists the names of the voting instances of a group. It must not be
// modified after it has been passed to this package.
type Electorate []string

// Majority returns the number of members that form a majority.
func (e Electorate) Majority() int {
	return len(e)/2 + 1
}

// Index returns the index of the named member, or -1 if it is not in the
// electorate.
func (e Electorate) Index(name string) int {
	for i, member := range e {
		if member == name {
			return i
		}
	}
	return -1
}

// memberSet is a bit set of members, indexed by their position in the electorate.
type memberSet uint64

func (s memberSet) has(i int) bool {
	return s>>uint(i)&1 == 1
}

func (s memberSet) with(i int) memberSet {
	return s | 1<<uint(i)
}

func (s memberSet) without(i int) memberSet {
	return s &^ (1 << uint(i))
}

func (s memberSet) size() int {
	n := 0
	for ; s != 0; s &= s - 1 {
		n++
	}
	return n
}
