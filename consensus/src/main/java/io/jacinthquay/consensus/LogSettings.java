package io.jacinthquay.consensus;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

/** The settings and collaborators of a replicated log. */
record LogSettings(
    MemberId member,
    Set<MemberId> seeds,
    Path folder,
    PeerTransport transport,
    StateMachine machine,
    StatusListener listener,
    Consumer<Throwable> onFatal,
    LogOptions options) {
  LogSettings {
    Objects.requireNonNull(member, "member");
    Objects.requireNonNull(folder, "folder");
    Objects.requireNonNull(transport, "transport");
    Objects.requireNonNull(machine, "stateMachine");
    seeds = seeds.isEmpty() ? Set.of(member) : Set.copyOf(seeds);
  }
}
