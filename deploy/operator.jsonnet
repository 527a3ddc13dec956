// The operator's own file; off on the platform, which has no lasting disk. Switch it on with
//   BURLLOOM_OPERATOR=deploy/operator.jsonnet, or burlloom serve --operator deploy/operator.jsonnet
// All that may stand here is told in docs/operators.md; `burlloom check` tells every fault at once.
local folder = '.';  // a disk that lasts, in earnest

{
  record: {
    mode: 'require',  // or 'prefer': run on memory's marks alone while the store is gone
    sqlite: {
      path: folder + '/burlloom-record.db',
      max_mb: 512,
    },
    claim_share: 0.25,  // of a product's SLA time, until a claim is durable and its run may begin
    hold_share: 0.1,  // of it, that an answer may wait for its result to be durable
  },
}
