package platform

// Row is a row of a Table.
type Row struct {
	Key string `json:"key"`
	// Version starts at 1 and increases by 1 with each write of the row.
	Version int64 `json:"version"`
	// Operation is the ID of the transaction that last wrote the row.
	Operation string `json:"operation"`
	Value     []byte `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key string `json:"key"`
	// Version is the expected version of the row; 0 means that the row must not
	// exist.
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Delete  bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that take effect atomically.
type Transaction struct {
	// Operation is stored in each written row and identifies the transaction.
	Operation string  `json:"operation"`
	Writes    []Write `json:"writes"`
}
