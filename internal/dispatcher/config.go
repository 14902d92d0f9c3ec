package dispatcher

import (
	"time"

	"sardinelock.dev/sardinelock/internal/configurer"
)

// pollConfig reads the version in force and publishes it.
func (e *Entry) pollConfig() {
	heads, err := e.platform.Read(e.background, configurer.CurrentKey)
	if err != nil || len(heads.Rows) == 0 {
		return
	}
	head, err := configurer.DecodeHead(heads.Rows[0].Value)
	if err != nil {
		e.settings.Logger.Error().Err(err).Msg("the stored configuration cannot be read")
		return
	}
	rows, err := e.platform.Read(e.background, configurer.DocumentKey(head.Number))
	if err != nil || len(rows.Rows) == 0 {
		return
	}
	v, err := configurer.DecodeVersion(rows.Rows[0].Value)
	if err != nil {
		e.settings.Logger.Error().Err(err).Msg("the stored configuration cannot be read")
		return
	}
	effective, err := v.Compose(e.settings.DataCentre)
	if err != nil {
		e.settings.Logger.Error().Err(err).Uint64("version", v.Number).Msg("the stored configuration is not valid")
		return
	}
	e.loop.Post(func(time.Time) {
		for _, s := range effective.Services {
			e.coordinator.SetPath(s.Name, s.Path)
		}
		e.config.Publish(&effective.Config)
	})
}
