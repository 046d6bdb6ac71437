package groupselect

import (
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
)

// ErrInvalidDeclarations is returned for a text that isn't a valid declarations
// file.
var ErrInvalidDeclarations = eris.New("declarations")

// BySelectors chooses the group by the selectors of one version of the
// declarations.
type BySelectors struct {
	index *declaration.Index
}

// NewBySelectors returns the chooser of valid declarations.
func NewBySelectors(declared *declaration.Declarations) BySelectors {
	return BySelectors{index: declared.Compile()}
}

// Choose returns the group of the matching selector. If the declarations have
// no selectors, it returns the group that has the name of the caller's database,
// with the default tenant and weight.
func (d BySelectors) Choose(caller *declaration.Caller, request declaration.Request) Choice {
	match := d.index.Select(*caller, request)
	if !match.Found {
		return Choice{}
	}
	choice := Choice{Found: true, Group: match.Group, Tenant: DefaultTenant, Weight: 1}
	if match.Selector == nil {
		return choice
	}
	if match.Selector.Tenant != "" {
		choice.Tenant = match.Selector.Tenant
	}
	choice.Weight = max(1, match.Selector.Weight)
	choice.Deadline = match.Selector.Deadline
	choice.MaxAge = match.Selector.MaxAge
	return choice
}

// Parse returns the chooser of declarations in text form. For declarations
// without selectors it returns ByDatabase. It returns ErrInvalidDeclarations
// with the first problem if the text isn't valid.
func Parse(text string) (Chooser, error) {
	declared, problems := declaration.Parse(text)
	if len(problems) > 0 {
		return nil, eris.Wrap(ErrInvalidDeclarations, problems[0].String())
	}
	if len(declared.Selectors) == 0 {
		return ByDatabase{}, nil
	}
	return NewBySelectors(declared), nil
}
