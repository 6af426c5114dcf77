package io.jacinthquay.router.service.request;

import io.jacinthquay.model.policy.RoutePolicy;

/** What a request's path leads to. */
sealed interface Target {
  /** Returns whether requests need no key. */
  boolean open();

  /** The model interface. */
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

  /** A plain route. */
  record Plain(RoutePolicy route) implements Target {
    @Override
    public boolean open() {
      return route.open();
    }
  }
}
