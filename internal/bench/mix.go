package bench

import (
	"fmt"
	"time"
)

// Operation is what a request of a class does.
type Operation string

// The operations.
const (
	// Read reads one of the rows that Prepare made.
	Read Operation = "read"
	// Count adds one to a row of the request's own, under a request id. It shows
	// whether the request ran once.
	Increment Operation = "count"
	// Insert adds a row of the request's own.
	Insert Operation = "insert"
	// InsertAndRead adds a row and reads it back in the same session, which may
	// have moved to another entry.
	InsertAndRead Operation = "insert_and_read"
)

// Class is one kind of request.
type Class struct {
	Name      string
	Caller    string
	Operation Operation
	Table     string
	// Share is the class's part of all requests.
	Share float64
	// Weight is what a request counts in the share answered in time.
	Weight   int
	Deadline time.Duration
	// MaxAge is the staleness that reads accept; zero leaves it to the policy.
	MaxAge time.Duration
}

// statement returns the SQL of a request, and readBack that of the read of the
// session's own write.
func (c *Class) statement() string {
	switch c.Operation {
	case Increment:
		return "UPDATE " + c.Table + " SET runs = runs + 1 WHERE id = $1"
	case Insert, InsertAndRead:
		return "INSERT INTO " + c.Table + " (id, note) VALUES ($1, $2)"
	default:
		return "SELECT note FROM " + c.Table + " WHERE id = $1"
	}
}

func (c *Class) readBack() string {
	return "SELECT count(*) FROM " + c.Table + " WHERE id = $1"
}

// statements returns the SQL that a caller of the mix uses.
func (m *Mix) statements(caller string) []string {
	var all []string
	for i := range m.Classes {
		class := &m.Classes[i]
		if class.Caller != caller {
			continue
		}
		all = append(all, class.statement())
		if class.Operation == InsertAndRead {
			all = append(all, class.readBack())
		}
	}
	return all
}

// Mix is the workload of one user on one service.
type Mix struct {
	Name      string
	Service   string
	Databases []string
	Classes   []Class
	// Writer is a caller that may create tables.
	Writer string
}

// Silotehnika returns the workload of Slavonska Silotehnika.
func Silotehnika() Mix {
	return Mix{
		Name:      "silotehnika",
		Service:   "zrnobaza",
		Databases: []string{"silo1", "silo2", "silo3"},
		Writer:    "control-room",
		Classes: []Class{
			{Name: "fan-order", Caller: "control-room", Operation: Increment, Table: "fan_order", Share: 0.10, Weight: 2, Deadline: 2 * time.Second},
			{Name: "shift-log", Caller: "foreman", Operation: InsertAndRead, Table: "shift_log", Share: 0.10, Weight: 2, Deadline: 2 * time.Second},
			{Name: "probe", Caller: "probe", Operation: Insert, Table: "measurement", Share: 0.10, Weight: 1, Deadline: 5 * time.Second},
			{Name: "reading", Caller: "depot", Operation: Read, Table: "reading", Share: 0.45, Weight: 1, Deadline: time.Second},
			{Name: "cooperative", Caller: "cooperative", Operation: Read, Table: "reading", Share: 0.25, Weight: 1, Deadline: time.Second},
		},
	}
}

// Volta returns the workload of Volta Conduit Trust.
func Volta() Mix {
	return Mix{
		Name:      "volta",
		Service:   "ductledger",
		Databases: []string{"duct1", "duct2", "duct3"},
		Writer:    "booking",
		Classes: []Class{
			{Name: "booking", Caller: "booking", Operation: Increment, Table: "booking", Share: 0.08, Weight: 1, Deadline: 2 * time.Second},
			{Name: "permit", Caller: "engineer", Operation: InsertAndRead, Table: "permit", Share: 0.07, Weight: 1, Deadline: 3 * time.Second},
			{Name: "map", Caller: "carrier", Operation: Read, Table: "availability", Share: 0.60, Weight: 1, Deadline: time.Second},
			{Name: "assembly-map", Caller: "assembly", Operation: Read, Table: "availability", Share: 0.25, Weight: 1, Deadline: 2 * time.Second},
		},
	}
}

// MixByName returns one of the users' workloads.
func MixByName(name string) (Mix, error) {
	for _, m := range []Mix{Silotehnika(), Volta()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, fmt.Errorf("mix %q: expected silotehnika or volta", name)
}
