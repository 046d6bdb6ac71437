package metrics

import "sync"

// Names and label values of the metrics by customer. Their number is bounded as that of
// the histograms: further customers are counted under OtherTenant.
const (
	// CustomerOperations counts the operations of each LabelCustomer by LabelOutcome.
	CustomerOperations = "customer-operations"
	// CustomerOperationsWaited counts the operations that waited for control's answer.
	CustomerOperationsWaited = "customer-operations-waited"
	// CustomerTokensHeld is how many operations the proxy may still admit.
	CustomerTokensHeld = "customer-tokens-held"
	// CustomerConnections is the number of open connections to all servers together.
	CustomerConnections = "customer-connections"
	// CustomerConnectionsOpened counts the connections that were opened.
	CustomerConnectionsOpened = "customer-connections-opened"

	// LabelCustomer is the label with the customer's name; empty: no customer holds
	// the caller's key.
	LabelCustomer = "customer"
	// LabelOutcome is the label with the outcome of an operation.
	LabelOutcome = "outcome"

	// OutcomeAdmitted is an operation that was within the limit. The outcome of one
	// that was refused is OutcomeRefusedPrefix and the reason.
	OutcomeAdmitted = "admitted"
	// OutcomeRefusedPrefix is the beginning of the outcomes of refused operations.
	OutcomeRefusedPrefix = "refused-"
	// OutcomeRefusedLimit is an operation beyond the customer's limit.
	OutcomeRefusedLimit = OutcomeRefusedPrefix + "limit"
	// OutcomeRefusedKey is an operation under a key that no customer holds.
	OutcomeRefusedKey = OutcomeRefusedPrefix + "key"
	// OutcomeRefusedRight is an operation at a proxy that couldn't confirm that its
	// keys are in force.
	OutcomeRefusedRight = OutcomeRefusedPrefix + "key-right"
)

// PerCustomer holds a value for each of up to DefaultMaxTenants customers, and one that
// all others share, under their labels. It is safe for concurrent use.
type PerCustomer[T any] struct {
	mu     sync.RWMutex
	values map[string]T
	create func(label string) T
}

// NewPerCustomer returns an empty container. create returns the value of a new label.
func NewPerCustomer[T any](create func(label string) T) *PerCustomer[T] {
	return &PerCustomer[T]{values: map[string]T{}, create: create}
}

// Get returns the value of a customer and its label.
func (p *PerCustomer[T]) Get(name string) (value T, label string) {
	p.mu.RLock()
	value, known := p.values[name]
	p.mu.RUnlock()
	if known {
		return value, name
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known = p.values[name]; !known && len(p.values) >= DefaultMaxTenants {
		name = OtherTenant
	}
	if value, known = p.values[name]; !known {
		value = p.create(name)
		p.values[name] = value
	}
	return value, name
}

// Each calls do with each label and its value. do must not call Get.
func (p *PerCustomer[T]) Each(do func(label string, value T)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for label, value := range p.values {
		do(label, value)
	}
}
