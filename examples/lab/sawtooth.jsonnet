// Load that swings around the capacity of the cores, with four periods; compares service levels, none,
// and two simple thresholds.
//   burlloom lab run examples/lab/sawtooth.jsonnet && burlloom lab report sawtooth
local world = import 'world.libsonnet';

{
  name: 'sawtooth',
  seeds: [1, 2, 3],
  variants: ['none', 'levels', 'threshold', 'threshold-hold'],
  worlds: [
    world { name: 'swing of %d s' % period, load: { shape: 'sawtooth', low: 0.6, high: 1.5, period_s: period, noise: 0.1 } }
    for period in [2, 5, 10, 30]
  ] + [
    world { name: 'steady at 150%', load: { low: 1.5, high: 1.5, noise: 0.1 } },
    world { name: 'small swing', load: { shape: 'sawtooth', low: 0.35, high: 0.55, period_s: 10, noise: 0.1 } },
  ],
}
