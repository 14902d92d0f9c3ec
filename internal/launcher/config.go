package launcher

import (
	_ "embed"
	"os"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/storer"
)

//go:embed base.yaml
var shippedBase []byte

// storeConfig makes a base and overlays the first version.
func (s *System) storeConfig(baseFile string, overlayFiles []string) error {
	base := configurer.File{Name: "base.yaml", Text: shippedBase}
	if baseFile != "" {
		var err error
		if base, err = readFile(baseFile); err != nil {
			return err
		}
	}
	var overlays []configurer.File
	for _, name := range overlayFiles {
		overlay, err := readFile(name)
		if err != nil {
			return err
		}
		overlays = append(overlays, overlay)
	}
	v, err := configurer.NewVersion(base, overlays)
	if err != nil {
		return err
	}
	v.Head = configurer.Head{Number: 1, ChangeID: "dev"}
	puts, err := v.Puts()
	if err != nil {
		return err
	}
	s.Platform.Write(storer.Transaction{RequestID: "dev-config", Puts: puts})
	return nil
}

func readFile(name string) (configurer.File, error) {
	text, err := os.ReadFile(name)
	return configurer.File{Name: name, Text: text}, errors.Trace(err)
}
