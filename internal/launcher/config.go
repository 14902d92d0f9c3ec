package launcher

import (
	_ "embed"
	"os"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/storer"
)

//go:embed base.yaml
var shippedBase []byte

// StoreConfig stores a base file, or the shipped one if the name is empty, and overlays
// as the first version of the configuration on a platform. It returns the names of the
// services.
func StoreConfig(platform *emulator.Platform, baseFile string, overlayFiles []string) ([]string, error) {
	base := configurer.File{Name: "base.yaml", Text: shippedBase}
	if baseFile != "" {
		var err error
		if base, err = readFile(baseFile); err != nil {
			return nil, err
		}
	}
	var overlays []configurer.File
	for _, name := range overlayFiles {
		overlay, err := readFile(name)
		if err != nil {
			return nil, err
		}
		overlays = append(overlays, overlay)
	}
	v, err := configurer.NewVersion(base, overlays)
	if err != nil {
		return nil, err
	}
	v.Head = configurer.Head{Number: 1, ChangeID: "dev"}
	puts, err := v.Puts()
	if err != nil {
		return nil, err
	}
	platform.Write(storer.Transaction{RequestID: "dev-config", Puts: puts})
	effective, err := v.Compose("")
	if err != nil {
		return nil, err
	}
	var services []string
	for _, service := range effective.Config.Services {
		services = append(services, service.Name)
	}
	return services, nil
}

func readFile(name string) (configurer.File, error) {
	text, err := os.ReadFile(name)
	return configurer.File{Name: name, Text: text}, errors.Trace(err)
}
