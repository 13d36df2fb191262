package configuration

// Kind tells which branches a setting applies to.
type Kind string

// The kinds: the root of the tree, and the branches below each top branch.
const (
	KindRoot    Kind = "root"
	KindAccount Kind = "account"
	KindRoute   Kind = "route"
	KindService Kind = "service"
)

// The top branches.
const (
	TopAccounts = "accounts"
	TopRoutes   = "routes"
	TopServices = "services"
)

// KindOf returns the kind of a branch. It reports false where the first
// element is no top branch.
func KindOf(p Path) (Kind, bool) {
	switch p.Top() {
	case "":
		return KindRoot, p == ""
	case TopAccounts:
		return KindAccount, true
	case TopRoutes:
		return KindRoute, true
	case TopServices:
		return KindService, true
	default:
		return "", false
	}
}

// Setting describes one setting of the tree.
type Setting struct {
	Name string
	Kind Kind
	// Default is the value where no branch sets one, in the notation of the
	// tree. Empty: none.
	Default string
	// Expected is the form of a valid value, for messages to operators.
	Expected string
	// Required settings must come from the object or a branch above it.
	Required bool
	// OwnOnly settings identify an object. They are not inherited, and a
	// branch with branches below it cannot set them.
	OwnOnly bool
	// List settings hold one value a line.
	List bool
	// MergeByElement says that two edits of the list that add or remove
	// different values do not conflict.
	MergeByElement bool
	// Secret values are not repeated in messages.
	Secret bool
}

// definition is a setting with its parser, which stores the value in the
// object T and reports whether the value is valid.
type definition[T any] struct {
	Setting
	set func(target *T, value string) bool
}

// Definitions returns the settings of a kind, in the order of the manual.
func Definitions(kind Kind) []Setting {
	switch kind {
	case KindRoot:
		return listed(rootDefinitions)
	case KindAccount:
		return listed(accountDefinitions)
	case KindRoute:
		return listed(routeDefinitions)
	case KindService:
		return listed(serviceDefinitions)
	default:
		return nil
	}
}

// Lookup returns the definition of a setting of a branch.
func Lookup(p Path, name string) (Setting, bool) {
	kind, _ := KindOf(p)
	for _, d := range Definitions(kind) {
		if d.Name == name {
			return d, true
		}
	}
	return Setting{}, false
}

func listed[T any](definitions []definition[T]) []Setting {
	settings := make([]Setting, len(definitions))
	for i, d := range definitions {
		settings[i] = d.Setting
	}
	return settings
}

func find[T any](definitions []definition[T], name string) (definition[T], bool) {
	for _, d := range definitions {
		if d.Name == name {
			return d, true
		}
	}
	return definition[T]{}, false
}
