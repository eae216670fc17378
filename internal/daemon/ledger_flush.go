package daemon

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// flushLedger writes the ledger to the store at each ledgerInterval until ctx ends.
func (d *Daemon) flushLedger(ctx context.Context) {
	runEvery(ctx, ledgerInterval, func() { d.writeLedger(ctx) })
}

// writeLedger writes the documents of the ledger that the store has not acknowledged, and
// stops at the first error. A document that can't be written stays in the ledger and is
// written at the next flush. Writing a document twice is safe, because the second write
// replaces the first.
func (d *Daemon) writeLedger(ctx context.Context) {
	for _, document := range d.ledger.Flush(time.Now()) {
		if err := d.writeDocument(ctx, document); err != nil {
			klog.V(1).Infof("ledger: Write of a bucket to the store failed: %v.", err)
			return
		}
		d.ledger.Acknowledge(document)
	}
}

// writeDocument writes a document and replaces an earlier version of it. Replacing is
// safe, because only this daemon writes the document.
func (d *Daemon) writeDocument(ctx context.Context, document ledger.Document) error {
	o, err := document.Object()
	if err != nil {
		return err
	}
	_, err = d.store.Put(ctx, o)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		o.Version = conflict.Current.Version
		_, err = d.store.Put(ctx, o)
	}
	return err
}
