// The service levels with one mechanism left out each, under load that swings every 10 or 30 s.
//   burlloom lab run examples/lab/ablations.jsonnet && burlloom lab compare ablations --base levels
local world = import 'world.libsonnet';

{
  name: 'ablations',
  seeds: [1, 2, 3],
  variants: ['levels', 'no-stay', 'no-growth', 'no-trial', 'no-cap'],
  worlds: [
    world { name: 'swing of 10 s', load: { shape: 'sawtooth', low: 0.6, high: 1.5, period_s: 10, noise: 0.1 } },
    world { name: 'swing of 30 s', load: { shape: 'sawtooth', low: 0.6, high: 1.5, period_s: 30, noise: 0.1 } },
  ],
}
