package experiment

import (
	"os"
	"path/filepath"

	"github.com/parquet-go/parquet-go"
)

// row is one second of a variant and seed. Its name is part of the Parquet file's schema.
type row struct {
	Variant   string  `parquet:"variant,dict"`
	Seed      int64   `parquet:"seed"`
	At        float64 `parquet:"at_s"`
	Load      float64 `parquet:"load"`
	Asked     float64 `parquet:"asked"`
	Served    float64 `parquet:"served"`
	Reduced   float64 `parquet:"served_reduced"`
	Throttled int32   `parquet:"throttled"`
	Errored   int32   `parquet:"errored"`
	Declined  int32   `parquet:"declined"`
	Held      int32   `parquet:"held"`
	OnCores   int32   `parquet:"on_cores"`
	InHand    int32   `parquet:"in_hand"`
	Levels    []int32 `parquet:"levels,list"`
}

// Save writes each second's series as Parquet, and a plot a variant of its first seed, into a folder.
func (r *Result) Save(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var rows []row
	for _, name := range r.Experiment.variantNames() {
		for k, o := range r.Outcomes[name] {
			for _, s := range o.Seconds {
				x := row{Variant: name, Seed: r.Seeds[k], At: s.At, Load: s.Load, Asked: s.Asked, Served: s.Served,
					Reduced: s.ServedReduced, Throttled: int32(s.Throttled), Errored: int32(s.Errored), Declined: int32(s.Declined),
					Held: int32(s.Held), OnCores: int32(s.OnCores), InHand: int32(s.InHand)}
				for _, level := range s.Levels {
					x.Levels = append(x.Levels, int32(level))
				}
				rows = append(rows, x)
			}
		}
		if err := r.savePlot(filepath.Join(folder, name+".svg"), name); err != nil {
			return err
		}
	}
	return parquet.WriteFile(filepath.Join(folder, r.Experiment.Name+".parquet"), rows)
}
