package bench

import (
	"fmt"
	"time"
)

// Operation is the kind of statement that the requests of a class run.
type Operation string

// Operations of a class.
const (
	// Read selects one of the rows that Prepare inserted.
	Read Operation = "read"
	// Increment adds one to the runs column of a row that only this request uses,
	// under a request id. The column shows how often the request ran.
	Increment Operation = "count"
	// Insert inserts a row with the request's id.
	Insert Operation = "insert"
	// InsertAndRead inserts a row and reads it back in the same session, possibly
	// through another gateway.
	InsertAndRead Operation = "insert_and_read"
)

// Class describes one kind of request of a mix.
type Class struct {
	Name      string
	Caller    string
	Operation Operation
	Table     string
	// Share is the relative frequency of the class within the mix.
	Share float64
	// Weight is the weight of a request of the class in Report.InTimeShare.
	Weight int
	// Deadline is the time from the intended start within which the answer is useful.
	Deadline time.Duration
	// MaxAge is the staleness that reads accept. If it is zero, the read policy of the
	// caller applies.
	MaxAge time.Duration
}

// statement returns the SQL text of a request of the class.
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

// readBack returns the SQL text with which a session reads its own write.
func (c *Class) readBack() string {
	return "SELECT count(*) FROM " + c.Table + " WHERE id = $1"
}

// statements returns the SQL texts that a caller of the mix runs.
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

// Mix is the workload of one organization on one service.
type Mix struct {
	Name      string
	Service   string
	Databases []string
	Classes   []Class
	// Writer is the caller that creates the tables and inserts the prepared rows.
	Writer string
}

// Silotehnika returns the workload of Slavonska Silotehnika: control orders to fans,
// shift logs, probe measurements and reads of the readings.
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

// Volta returns the workload of Volta Conduit Trust: bookings, permits and reads of
// availability maps.
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

// MixByName returns the mix with the given name, or an error if there is none.
func MixByName(name string) (Mix, error) {
	for _, m := range []Mix{Silotehnika(), Volta()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, fmt.Errorf("unknown mix %q: expected silotehnika or volta", name)
}
