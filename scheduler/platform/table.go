package platform

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version starts at 1 and grows by 1 with each write of the row.
	Version int64 `json:"version"`
	// Operation is the id of the transaction that last wrote the row.
	Operation string `json:"operation"`
	Value     []byte `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key string `json:"key"`
	// Version is the version the row must have; 0 means it must not exist.
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Delete  bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that take effect together or not at all.
type Transaction struct {
	// Operation identifies the transaction in the rows it writes.
	Operation string  `json:"operation"`
	Writes    []Write `json:"writes"`
}
