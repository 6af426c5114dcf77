package io.jacinthquay.decision.pace;

import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;

/** Is told when an upstream enters or leaves slow start. */
public interface SlowStartListener {
  /** A listener that does nothing. */
  SlowStartListener NONE =
      new SlowStartListener() {
        @Override
        public void started(UpstreamId upstream, PoolName pool, StartReason reason) {}

        @Override
        public void ended(
            UpstreamId upstream, PoolName pool, boolean proved, double window, long nanos) {}
      };

  /** An upstream entered slow start. */
  void started(UpstreamId upstream, PoolName pool, StartReason reason);

  /**
   * An upstream left slow start.
   *
   * @param proved whether it has proved itself; false if it is no longer listed
   * @param window its last window, in requests
   * @param nanos time since it entered slow start or since its last failure, in nanoseconds
   */
  void ended(UpstreamId upstream, PoolName pool, boolean proved, double window, long nanos);
}
