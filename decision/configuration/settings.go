package configuration

// Kind is the kind of branches that a setting applies to.
type Kind string

// The kinds are the root of the tree and the branches of each top branch.
const (
	KindRoot    Kind = "root"
	KindAccount Kind = "account"
	KindRoute   Kind = "route"
	KindService Kind = "service"
)

// The top branches are the children of the root.
const (
	TopAccounts = "accounts"
	TopRoutes   = "routes"
	TopServices = "services"
)

// KindOf returns the kind of a branch, or false if the first element of the path
// is not a top branch.
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
	// Default is the value if no branch sets one, in the notation of the tree.
	// Empty means that there is no default.
	Default string
	// Expected describes a valid value in messages to operators.
	Expected string
	// Required settings must be set by the object or a branch above it.
	Required bool
	// OwnOnly settings are specific to one object: they are not inherited, and
	// an inner branch cannot set them.
	OwnOnly bool
	// List settings hold one value per line.
	List bool
	// MergeByElement reports that edits of the list which add or remove different
	// values do not conflict.
	MergeByElement bool
	// Secret values are not shown in messages.
	Secret bool
}

// definition is a setting with its parser, which stores the value in the
// object T and reports whether the value is valid.
type definition[T any] struct {
	Setting
	set func(target *T, value string) bool
}

// Definitions returns the settings of a kind in the order of the documentation.
func Definitions(kind Kind) []Setting {
	switch kind {
	case KindRoot:
		return settingsOf(rootDefinitions)
	case KindAccount:
		return settingsOf(accountDefinitions)
	case KindRoute:
		return settingsOf(routeDefinitions)
	case KindService:
		return settingsOf(serviceDefinitions)
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

func settingsOf[T any](definitions []definition[T]) []Setting {
	settings := make([]Setting, len(definitions))
	for i, d := range definitions {
		settings[i] = d.Setting
	}
	return settings
}

func findDefinition[T any](definitions []definition[T], name string) (definition[T], bool) {
	for _, d := range definitions {
		if d.Name == name {
			return d, true
		}
	}
	return definition[T]{}, false
}
