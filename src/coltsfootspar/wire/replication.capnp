@0xe2a7c95b81d3f406;

struct Value {
  union {
    none @0 :Void;
    integer @1 :Int64;
    number @2 :Float64;
    text @3 :Text;
  }
}

struct Edit {
  rowKey @0 :Text;
  column @1 :Text;
  value @2 :Value;
  hasExpectedVersion @3 :Bool;
  expectedVersion @4 :UInt64;
  isRemoval @5 :Bool;
}

struct EditCells {
  changeId @0 :Text;
  operator @1 :Text;
  edits @2 :List(Edit);
}

struct Claim {
  key @0 :Text;
  fingerprint @1 :Data;
  claimId @2 :Text;
  nodeId @3 :Text;
  nodeIncarnation @4 :UInt64;
  lifetimeMs @5 :UInt64;
  retentionMs @6 :UInt64;
}

struct Finish {
  key @0 :Text;
  claimId @1 :Text;
  answer @2 :Data;
  isKept @3 :Bool;
}

struct Abandon {
  key @0 :Text;
  claimId @1 :Text;
  mayHaveRun @2 :Bool;
}

struct AdmitReplica {
  replicaId @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
}

struct ReplaceRoutes {
  version @0 :UInt64;
  basis @1 :UInt64;
  digest @2 :Data;
  data @3 :Data;
}

struct AcceptedRoutes {
  version @0 :UInt64;
  digest @1 :Data;
}

struct Command {
  union {
    noOperation @0 :Void;
    editCells @1 :EditCells;
    claim @2 :Claim;
    finish @3 :Finish;
    abandon @4 :Abandon;
    admitReplica @5 :AdmitReplica;
    expire @6 :Void;
    replaceRoutes @7 :ReplaceRoutes;
    checkRoutes @8 :Void;
  }
}

struct ChangeResult {
  status @0 :Text;
  version @1 :UInt64;
  code @2 :Text;
  message @3 :Text;
  value @4 :Value;
}

struct ClaimResult {
  status @0 :Text;
  answer @1 :Data;
  nodeId @2 :Text;
}

struct Change {
  version @0 :UInt64;
  timeMs @1 :UInt64;
  changeId @2 :Text;
  operator @3 :Text;
  edits @4 :List(Edit);
}

struct Cell {
  column @0 :Text;
  value @1 :Value;
  version @2 :UInt64;
}

struct Row {
  key @0 :Text;
  cells @1 :List(Cell);
}

struct Table {
  version @0 :UInt64;
  rows @1 :List(Row);
}

struct ClaimRecord {
  key @0 :Text;
  status @1 :Text;
  fingerprint @2 :Data;
  claimId @3 :Text;
  nodeId @4 :Text;
  nodeIncarnation @5 :UInt64;
  expiresMs @6 :UInt64;
  answer @7 :Data;
  retentionMs @8 :UInt64;
}

struct KeptResult {
  changeId @0 :Text;
  result @1 :ChangeResult;
}

struct Incarnation {
  processId @0 :Text;
  incarnation @1 :UInt64;
}

struct Seat {
  replicaId @0 :Text;
  address @1 :Text;
  incarnation @2 :UInt64;
  isUnknown @3 :Bool;
}

struct JoinRequest {
  address @0 :Text;
  processId @1 :Text;
  isLeaving @2 :Bool;
}

struct JoinReply {
  replicaId @0 :Text;
  leaderAddress @1 :Text;
  seats @2 :List(Seat);
  index @3 :UInt64;
  hasLeft @4 :Bool;
  holders @5 :List(Seat);
  hasIncarnations @6 :Bool;
}

struct SnapshotItem {
  union {
    timeMs @0 :UInt64;
    table @1 :Table;
    change @2 :Change;
    result @3 :KeptResult;
    claim @4 :ClaimRecord;
    abandonedClaim @5 :Text;
    replica @6 :Incarnation;
    node @7 :Incarnation;
    routes @8 :Data;
    acceptedRoutes @9 :AcceptedRoutes;
    seat @10 :Seat;
  }
}

struct VoteRequest {
  term @0 :UInt64;
  candidateId @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
}

struct VoteReply {
  term @0 :UInt64;
  isGranted @1 :Bool;
  incarnation @2 :UInt64;
}

struct AppendRequest {
  term @0 :UInt64;
  leaderId @1 :Text;
  previousIndex @2 :UInt64;
  previousTerm @3 :UInt64;
  commitIndex @4 :UInt64;
  clusterId @5 :Text;
}

struct AppendReply {
  term @0 :UInt64;
  isAccepted @1 :Bool;
  matchIndex @2 :UInt64;
  nextIndex @3 :UInt64;
  incarnation @4 :UInt64;
  isAdmitted @5 :Bool;
  address @6 :Text;
}

struct InstallRequest {
  term @0 :UInt64;
  leaderId @1 :Text;
  snapshotIndex @2 :UInt64;
  snapshotTerm @3 :UInt64;
  offset @4 :UInt64;
  size @5 :UInt64;
  clusterId @6 :Text;
}

struct InstallReply {
  term @0 :UInt64;
  nextOffset @1 :UInt64;
  isInstalled @2 :Bool;
}

struct ProposeReply {
  status @0 :Text;
  leaderId @1 :Text;
  message @2 :Text;
  union {
    none @3 :Void;
    change @4 :ChangeResult;
    claim @5 :ClaimResult;
  }
}

struct TableRequest {
  afterVersion @0 :UInt64;
  waitMs @1 :UInt32;
}

struct TableReply {
  version @0 :UInt64;
  hasTable @1 :Bool;
  isCurrent @2 :Bool;
}

struct HistoryRequest {
  limit @0 :UInt32;
  beforeVersion @1 :UInt64;
}

struct HistoryReply {
  changes @0 :List(Change);
  version @1 :UInt64;
  isCurrent @2 :Bool;
}

struct LookUpRequest {
  key @0 :Text;
  waitMs @1 :UInt32;
}

struct Departure {
  instanceId @0 :Text;
  startedMs @1 :UInt64;
  sequence @2 :UInt64;
  hasDeregistered @3 :Bool;
}

struct NoteDepartures {
  nodeId @0 :Text;
  departures @1 :List(Departure);
}

struct Departures {
  departures @0 :List(Departure);
  isPartial @1 :Bool;
  hasCopies @2 :Bool;
  group @3 :Group;
}

struct DepartureCopies {
  nodes @0 :List(NoteDepartures);
}

struct Group {
  term @0 :UInt64;
  index @1 :UInt64;
  incarnation @2 :UInt64;
  replicas @3 :List(Incarnation);
}

struct StatusReply {
  replicaId @0 :Text;
  role @1 :Text;
  term @2 :UInt64;
  leaderId @3 :Text;
  lastIndex @4 :UInt64;
  commitIndex @5 :UInt64;
  tableVersion @6 :UInt64;
  claims @7 :UInt64;
  isAdmitted @8 :Bool;
  isCurrent @9 :Bool;
  incarnation @10 :UInt64;
  snapshotIndex @11 :UInt64;
}
