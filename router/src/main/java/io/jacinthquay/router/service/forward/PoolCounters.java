package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.service.forward.ForwardReport.PoolDemand;

/** Counts the demand on one pool since this router started. */
final class PoolCounters {
  long requests;
  long promptTokens;
  long outputTokens;
  long refused;
  long late;

  PoolDemand demand(int waiting) {
    return new PoolDemand(requests, promptTokens, outputTokens, refused, waiting, late);
  }
}
