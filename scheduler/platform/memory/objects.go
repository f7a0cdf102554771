package memory

import (
	"bytes"
	"context"
	"sync"

	"daisylug.example/scheduler/platform"
)

// Objects is a view of an in-memory platform.Objects.
type Objects struct {
	*Injector
	store *sync.Map // name to []byte
}

// NewObjects returns the first view of an empty object store.
func NewObjects(seed uint64) *Objects {
	return &Objects{Injector: NewInjector("objects", seed), store: &sync.Map{}}
}

// Put implements platform.Objects. Storing different content under an existing
// name returns *platform.ConflictError.
func (o *Objects) Put(ctx context.Context, name string, content []byte) error {
	return invokeWrite(ctx, o.Injector, func() error {
		stored, loaded := o.store.LoadOrStore(name, bytes.Clone(content))
		if loaded && !bytes.Equal(stored.([]byte), content) {
			return &platform.ConflictError{Keys: []string{name}}
		}
		return nil
	})
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return invoke(ctx, o.Injector, false, func() ([]byte, error) {
		stored, ok := o.store.Load(name)
		if !ok {
			return nil, &platform.NotFoundError{Kind: "object", Name: name}
		}
		return bytes.Clone(stored.([]byte)), nil
	})
}
