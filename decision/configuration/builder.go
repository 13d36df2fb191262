package configuration

import "strings"

// objectBuilder creates the objects of one kind. It parses the values of inner
// branches once, into templates from which the objects are copied.
type objectBuilder[T any] struct {
	compiler    *Compiler
	definitions []definition[T]
	templates   map[Path]T
}

func newObjectBuilder[T any](c *Compiler, definitions []definition[T]) objectBuilder[T] {
	return objectBuilder[T]{compiler: c, definitions: definitions, templates: make(map[Path]T)}
}

// object returns the object at p with its own and its inherited settings.
func (b *objectBuilder[T]) object(p Path, settings Settings) *T {
	object := b.template(p.Parent())
	b.applySettings(p, settings, &object)
	b.checkRequired(p, settings)
	return &object
}

// template returns an object with the settings of the inner branch p and of the
// branches above it.
func (b *objectBuilder[T]) template(p Path) T {
	if t, ok := b.templates[p]; ok {
		return t
	}
	var t T
	if p == Path(p.Top()) {
		b.applyDefaults(&t)
	} else {
		t = b.template(p.Parent())
	}
	b.applyInnerBranch(p, &t)
	b.templates[p] = t
	return t
}

func (b *objectBuilder[T]) applyDefaults(target *T) {
	for _, d := range b.definitions {
		if d.Default != "" {
			d.set(target, d.Default)
		}
	}
}

func (b *objectBuilder[T]) applyInnerBranch(p Path, target *T) {
	for name, value := range b.compiler.snapshot.inner[p] {
		d, ok := findDefinition(b.definitions, name)
		if ok && d.OwnOnly {
			d.Expected = "this setting only on a branch without branches below it"
			b.compiler.reportSetting(p, d.Setting, value)
			continue
		}
		b.applySetting(p, name, value, target)
	}
}

func (b *objectBuilder[T]) applySettings(p Path, settings Settings, target *T) {
	for name, value := range settings {
		b.applySetting(p, name, value, target)
	}
}

func (b *objectBuilder[T]) applySetting(p Path, name, value string, target *T) {
	d, ok := findDefinition(b.definitions, name)
	if !ok {
		d.Name = name
		d.Expected = "one of the settings " + b.settingNames()
		d.Secret = true // an unknown name may be a misspelt "keys"
		b.compiler.reportSetting(p, d.Setting, value)
		return
	}
	if !d.set(target, value) {
		b.compiler.reportSetting(p, d.Setting, value)
	}
}

func (b *objectBuilder[T]) settingNames() string {
	names := make([]string, len(b.definitions))
	for i, d := range b.definitions {
		names[i] = d.Name
	}
	return strings.Join(names, ", ")
}

// checkRequired records a problem for each required setting that neither the
// object nor a branch above it sets.
func (b *objectBuilder[T]) checkRequired(p Path, settings Settings) {
	for _, d := range b.definitions {
		if _, ok := settings[d.Name]; d.Required && !ok && !b.isInherited(p, d.Setting) {
			b.compiler.reportSetting(p, d.Setting, "")
		}
	}
}

func (b *objectBuilder[T]) isInherited(p Path, d Setting) bool {
	if d.OwnOnly {
		return false
	}
	for p != Path(p.Top()) {
		p = p.Parent()
		if _, ok := b.compiler.snapshot.inner[p][d.Name]; ok {
			return true
		}
	}
	return false
}
