package dispatch

import (
	"errors"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var goodArgs = map[string]string{
	"name": "entry-1", "region": "south", "centre": "turku",
	"api": "127.0.0.1:7411", "peer": "127.0.0.1:7431",
	"table": "http://127.0.0.1:7400", "objects": "http://127.0.0.1:7400", "directory": "http://127.0.0.1:7400",
}

func argsWith(changes map[string]string) []string {
	var args []string
	for flag, value := range goodArgs {
		if _, changed := changes[flag]; !changed {
			args = append(args, "--"+flag+"="+value)
		}
	}
	for flag, value := range changes {
		if value != "" {
			args = append(args, "--"+flag+"="+value)
		}
	}
	return args
}

// Guards against invalid settings that are accepted, and against an error that
// reports only the first invalid setting.
func TestSettings(t *testing.T) {
	Convey("Wrong settings are all reported by flag", t, func() {
		for _, c := range []struct {
			name    string
			changes map[string]string
			flags   []string
		}{
			{"good", nil, nil},
			{"missing name", map[string]string{"name": ""}, []string{"name"}},
			{"name with capitals", map[string]string{"name": "Entry"}, []string{"name"}},
			{"host name as address", map[string]string{"api": "localhost:7411"}, []string{"api"}},
			{"URL without scheme", map[string]string{"table": "127.0.0.1:7400"}, []string{"table"}},
			{"grace above the maximum", map[string]string{"grace": "5s"}, []string{"grace"}},
			{"not a duration", map[string]string{"drain": "3"}, []string{"drain"}},
			{"unknown choice", map[string]string{"objective": "speed"}, []string{"objective"}},
			{"negative count", map[string]string{"weight": "-1"}, []string{"weight"}},
			{"several at once", map[string]string{"name": "", "weight": "x", "grace": "9s"}, []string{"name", "weight", "grace"}},
		} {
			Convey(c.name, func() {
				_, err := parse(argsWith(c.changes), io.Discard, io.Discard)
				if c.flags == nil {
					So(err, ShouldBeNil)
					return
				}
				var settingsErr *SettingsError
				So(errors.As(err, &settingsErr), ShouldBeTrue)
				var flags []string
				for _, settingErr := range settingsErr.Errors {
					flags = append(flags, settingErr.Flag)
				}
				So(flags, ShouldHaveLength, len(c.flags))
				for _, flag := range c.flags {
					So(flags, ShouldContain, flag)
				}
			})
		}
	})

	Convey("The environment sets what no flag sets", t, func() {
		t.Setenv("DAISYLUGD_WRITES_PER_SECOND", "17")
		s, err := parse(argsWith(nil), io.Discard, io.Discard)
		So(err, ShouldBeNil)
		So(s.WritesPerSecond, ShouldEqual, 17)
	})
}
