// Common to all example worlds: three request classes of different value, tenants, callers and one
// downstream service.
{
  machines: { count: 3, cores: 6, speed: [0.8, 1.4] },
  products: [
    { name: 'look', share: 0.50, work_ms: 340, sla_ms: 2400, expiry_ms: 6000, value: 1 },
    { name: 'set', share: 0.29, work_ms: 250, sla_ms: 2400, expiry_ms: 6000, value: 2 },
    { name: 'pay', share: 0.21, work_ms: 250, sla_ms: 1600, expiry_ms: 6000, value: 5, kind: 'referenced', window_ms: 17940 },
  ],
  tenants: [{ name: 'acme', share: 0.6 }, { name: 'bolt', share: 0.4 }],
  callers: { count: 30 },
  below: { slots: 40 },
  seconds: 120,
}
