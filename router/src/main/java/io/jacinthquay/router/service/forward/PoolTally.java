package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.service.forward.ForwardReport.PoolDemand;

/** What was asked of one pool since the start of this router. */
final class PoolTally {
  long requests;
  long promptTokens;
  long outputTokens;
  long refused;
  long late;

  PoolDemand demand(int waiting) {
    return new PoolDemand(requests, promptTokens, outputTokens, refused, waiting, late);
  }
}
