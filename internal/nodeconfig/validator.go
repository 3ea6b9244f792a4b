package nodeconfig

import (
	"errors"
	"fmt"
)

// Bounds on indices, including those whose operation or tenant is retired and not yet forgotten.
const (
	maxOperations = 1 << 16
	maxTenants    = 1 << 21
)

// ChangeValidator validates an amendment that comes in pieces against a config, at the cost of the changes. It changes
// nothing.
type ChangeValidator struct {
	config              *Config
	remainingOperations int // in service after all changes
	newOperations       int // that need an index
	newTenants          int // that need an index
}

// NewChangeValidator returns a validator without changes.
func (c *Config) NewChangeValidator() *ChangeValidator {
	return &ChangeValidator{config: c, remainingOperations: c.Operations.Len()}
}

// Add adds changes; each item is in at most one of them.
func (v *ChangeValidator) Add(changes []Change) {
	for i := range changes {
		c := &changes[i]
		switch {
		case c.Part == Operations:
			v.addOperation(c)
		case c.Part == Tenants && !c.Removed:
			v.addTenant(c)
		}
	}
}

func (v *ChangeValidator) addOperation(c *Change) {
	_, inService := v.config.Operations.Find(c.Name)
	switch {
	case c.Removed && inService:
		v.remainingOperations--
	case !c.Removed && !inService:
		v.remainingOperations++
		if _, known := v.config.Operations.Lookup(c.Name); !known {
			v.newOperations++
		}
	}
}

func (v *ChangeValidator) addTenant(c *Change) {
	if _, known := v.config.Tenants.Lookup(c.Name); !known {
		v.newTenants++
	}
}

// Err returns why the config can't take all changes that were added.
func (v *ChangeValidator) Err() error {
	if v.remainingOperations < 1 {
		return errors.New("nodeconfig: operations: none would be left; add one before the last is removed")
	}
	if err := checkIndices(Operations, v.config.Operations.count+v.newOperations, maxOperations); err != nil {
		return err
	}
	return checkIndices(Tenants, v.config.Tenants.count+v.newTenants, maxTenants)
}

func checkIndices(part string, indices, maxIndices int) error {
	if indices <= maxIndices {
		return nil
	}
	return fmt.Errorf("nodeconfig: %s: %d with those removed of late, %d at the most; wait, or remove some", part, indices, maxIndices)
}

// ValidateAmendment returns why a config can't take all of an amendment, at the cost of the operations in it, and of the
// tenants only near their bound. It changes nothing.
func (c *Config) ValidateAmendment(amendment *Amendment) error {
	validator := c.NewChangeValidator()
	for _, i := range amendment.operationChanges {
		validator.addOperation(&amendment.Changes[i])
	}
	if c.Tenants.count+len(amendment.tenantChanges) > maxTenants {
		for _, i := range amendment.tenantChanges {
			validator.addTenant(&amendment.Changes[i])
		}
	}
	return validator.Err()
}
