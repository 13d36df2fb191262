package decision

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// allowedImports are the packages outside the module that the reducer may
// import. time is allowed for durations only.
var allowedImports = map[string]bool{
	"cmp": true, "container/heap": true, "crypto/sha256": true, "crypto/subtle": true,
	"encoding/binary": true, "encoding/hex": true, "errors": true, "fmt": true,
	"hash/fnv": true, "iter": true, "maps": true, "math": true, "math/bits": true,
	"math/rand/v2": true, "slices": true, "sort": true, "strconv": true,
	"strings": true, "time": true, "unicode": true,
}

// allowedTime are the names of package time that read no clock.
var allowedTime = map[string]bool{
	"Duration": true, "Nanosecond": true, "Microsecond": true, "Millisecond": true,
	"Second": true, "Minute": true, "Hour": true, "ParseDuration": true,
}

// allowedRand are the names of math/rand/v2 that need an explicit seed.
var allowedRand = map[string]bool{"New": true, "NewPCG": true, "Rand": true, "PCG": true}

// TestDecisionsArePure guards against a clock, unseeded randomness, I/O, locks
// and concurrency in the reducer.
func TestDecisionsArePure(t *testing.T) {
	c := qt.New(t)
	files := sourceFiles(c)
	c.Assert(len(files) > 10, qt.IsTrue)
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		c.Assert(err, qt.IsNil)
		checkImports(c, path, file)
		checkSyntax(c, path, file)
	}
}

func sourceFiles(c *qt.C) []string {
	var files []string
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	return files
}

func checkImports(c *qt.C, path string, file *ast.File) {
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		c.Assert(err, qt.IsNil)
		own := strings.HasPrefix(name, "pollensail.dev/decision")
		c.Check(own || allowedImports[name], qt.IsTrue, qt.Commentf("%s imports %s", path, name))
	}
}

func checkSyntax(c *qt.C, path string, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt, *ast.ChanType, *ast.SelectStmt, *ast.SendStmt:
			c.Errorf("%s uses concurrency: %T", path, n)
		case *ast.SelectorExpr:
			checkSelector(c, path, n)
		}
		return true
	})
}

func checkSelector(c *qt.C, path string, sel *ast.SelectorExpr) {
	pkg, ok := sel.X.(*ast.Ident)
	if !ok || pkg.Obj != nil {
		return
	}
	if pkg.Name == "time" && !allowedTime[sel.Sel.Name] {
		c.Errorf("%s uses time.%s", path, sel.Sel.Name)
	}
	if pkg.Name == "rand" && !allowedRand[sel.Sel.Name] {
		c.Errorf("%s uses rand.%s", path, sel.Sel.Name)
	}
}
