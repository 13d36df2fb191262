package configuration

import "strings"

// builder puts together the objects of one kind. Values of inner branches are
// parsed once, into the templates from which objects are copied.
type builder[T any] struct {
	build       *Build
	definitions []definition[T]
	templates   map[Path]T
}

func newBuilder[T any](b *Build, definitions []definition[T]) builder[T] {
	return builder[T]{build: b, definitions: definitions, templates: make(map[Path]T)}
}

// object returns the object with its own settings and the inherited ones.
func (b *builder[T]) object(p Path, settings Settings) *T {
	object := b.template(p.Parent())
	b.apply(p, settings, &object)
	b.requireAll(p, settings)
	return &object
}

// template returns the object as branches down to p define it.
func (b *builder[T]) template(p Path) T {
	if t, ok := b.templates[p]; ok {
		return t
	}
	var t T
	if p == Path(p.Top()) {
		b.applyDefaults(&t)
	} else {
		t = b.template(p.Parent())
	}
	b.applyInner(p, &t)
	b.templates[p] = t
	return t
}

func (b *builder[T]) applyDefaults(target *T) {
	for _, d := range b.definitions {
		if d.Default != "" {
			d.set(target, d.Default)
		}
	}
}

func (b *builder[T]) applyInner(p Path, target *T) {
	for name, value := range b.build.snapshot.inner[p] {
		d, ok := find(b.definitions, name)
		if ok && d.OwnOnly {
			d.Expected = "this setting only on a branch without branches below it"
			b.build.problem(p, d.Setting, value)
			continue
		}
		b.applyOne(p, name, value, target)
	}
}

func (b *builder[T]) apply(p Path, settings Settings, target *T) {
	for name, value := range settings {
		b.applyOne(p, name, value, target)
	}
}

func (b *builder[T]) applyOne(p Path, name, value string, target *T) {
	d, ok := find(b.definitions, name)
	if !ok {
		d.Name = name
		d.Expected = "one of the settings " + b.names()
		d.Secret = true // an unknown name may be a misspelt "keys"
		b.build.problem(p, d.Setting, value)
		return
	}
	if !d.set(target, value) {
		b.build.problem(p, d.Setting, value)
	}
}

func (b *builder[T]) names() string {
	names := make([]string, len(b.definitions))
	for i, d := range b.definitions {
		names[i] = d.Name
	}
	return strings.Join(names, ", ")
}

// requireAll reports required settings that neither the object nor a branch
// above it sets.
func (b *builder[T]) requireAll(p Path, settings Settings) {
	for _, d := range b.definitions {
		if _, ok := settings[d.Name]; d.Required && !ok && !b.isInherited(p, d.Setting) {
			b.build.problem(p, d.Setting, "")
		}
	}
}

func (b *builder[T]) isInherited(p Path, d Setting) bool {
	if d.OwnOnly {
		return false
	}
	for p != Path(p.Top()) {
		p = p.Parent()
		if _, ok := b.build.snapshot.inner[p][d.Name]; ok {
			return true
		}
	}
	return false
}
