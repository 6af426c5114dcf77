package io.jacinthquay.router.service.request;

import io.jacinthquay.model.policy.RoutePolicy;

/** The destination of a request, by its path. */
sealed interface Target {
  /** Returns whether requests may come without a key. */
  boolean open();

  /** An endpoint of the model API. */
  record Model(Endpoint endpoint) implements Target {
    @Override
    public boolean open() {
      return false;
    }
  }

  /** The list of models. */
  record ModelList() implements Target {
    @Override
    public boolean open() {
      return false;
    }
  }

  /** A route to a plain service. */
  record Plain(RoutePolicy route) implements Target {
    @Override
    public boolean open() {
      return route.open();
    }
  }
}
