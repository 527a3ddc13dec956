// Failures with and without service levels: servers killed or joining cold at peak load, a slow
// dependency, a flood of retries.
//   burlloom lab run examples/lab/bad-days.jsonnet && burlloom lab report bad-days
local world = import 'world.libsonnet';

{
  name: 'bad-days',
  seeds: [1, 2, 3, 4],
  variants: ['none', 'levels'],
  worlds: [
    world { name: 'a fifth dies at the peak', machines+: { count: 10 }, below+: { slots: 130 }, load: { low: 0.95, high: 0.95 },
            faults: [{ kind: 'kill', at_s: 30, for_s: 15, part: 0.2 }] },
    world { name: 'one joins cold mid-peak', load: { low: 1.1, high: 1.1 },
            faults: [{ kind: 'kill', at_s: 0, for_s: 40, part: 0.3 }] },
    world { name: 'the dependency is five times slower', load: { low: 0.8, high: 0.8 },
            faults: [{ kind: 'below-slow', at_s: 30, for_s: 30, size: 5 }] },
    world { name: 'a flood of retries of set', load: { low: 0.8, high: 0.8 },
            faults: [{ kind: 'flood', at_s: 30, for_s: 30, size: 4, product: 'set' }] },
  ],
}
