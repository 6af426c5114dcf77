/** What operators read from routers for the service-level report. */
namespace java io.jacinthquay.wire.gen

include "keeper.thrift"

/** Requests of one customer in one class; one tally per burn window, shortest window first. */
struct SloLine {
  1: string className
  2: string customer
  3: list<i64> attained
  4: list<i64> missed
}

/** Times of one class as compressed HdrHistograms, in microseconds. */
struct SloTimes {
  1: string className
  2: binary firstToken
  3: binary interToken
}

/** Ages of what a router decides by, in ms; -1 where it has none yet. */
struct StalenessReport {
  1: i64 configMillis
  2: i64 keysMillis
  3: i64 loadMillis
  4: i64 cacheEventsMillis
  5: i64 configVersion
}

struct SloReport {
  1: string router
  2: string domain
  3: list<SloLine> lines
  4: list<SloTimes> times
  5: StalenessReport staleness
}

/** Served by every router on its inner address, for operators. */
service RouterReport extends keeper.ConfigFeed {
  SloReport slo() throws (1: keeper.CallFailed failed)
}
