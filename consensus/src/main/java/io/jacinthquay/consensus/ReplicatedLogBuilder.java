package io.jacinthquay.consensus;

import io.jacinthquay.consensus.storage.FileLogStorage;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

/** Builds a {@link ReplicatedLog}. */
public final class ReplicatedLogBuilder {
  private MemberId member;
  private Set<MemberId> seeds = Set.of();
  private Path folder;
  private PeerTransport transport;
  private StateMachine machine;
  private StatusListener listener = status -> {};
  private Consumer<Throwable> onFatal = cause -> {};
  private LogOptions options = LogOptions.DEFAULT;
  private StorageOpener storage = FileLogStorage::open;

  ReplicatedLogBuilder() {}

  /**
   * Sets the name of this member.
   *
   * @param value the member
   * @return this builder
   */
  public ReplicatedLogBuilder member(MemberId value) {
    member = Objects.requireNonNull(value, "member");
    return this;
  }

  /**
   * Sets the members that form the cluster when all their data folders are empty, and that a member
   * with an empty data folder asks to join later. Must be the same set on each member.
   *
   * @param value the seeds
   * @return this builder
   */
  public ReplicatedLogBuilder seeds(Set<MemberId> value) {
    seeds = Set.copyOf(value);
    return this;
  }

  /**
   * Sets the data folder, which is created if it doesn't exist.
   *
   * @param value the folder
   * @return this builder
   */
  public ReplicatedLogBuilder folder(Path value) {
    folder = Objects.requireNonNull(value, "folder");
    return this;
  }

  /**
   * Sets the transport.
   *
   * @param value the transport
   * @return this builder
   */
  public ReplicatedLogBuilder transport(PeerTransport value) {
    transport = Objects.requireNonNull(value, "transport");
    return this;
  }

  /**
   * Sets the state machine.
   *
   * @param value the state machine
   * @return this builder
   */
  public ReplicatedLogBuilder stateMachine(StateMachine value) {
    machine = Objects.requireNonNull(value, "stateMachine");
    return this;
  }

  /**
   * Sets the listener for status changes.
   *
   * @param value the listener
   * @return this builder
   */
  public ReplicatedLogBuilder listener(StatusListener value) {
    listener = Objects.requireNonNull(value, "listener");
    return this;
  }

  /**
   * Sets what is called if the replica can't take part again in this process, since its state
   * machine failed or its data folder was replaced. It should end the process. By default the
   * replica only keeps the role {@link Role#FAILED}.
   *
   * @param value receives the cause, on any thread; must not wait for the log to stop
   * @return this builder
   */
  public ReplicatedLogBuilder onFatal(Consumer<Throwable> value) {
    onFatal = Objects.requireNonNull(value, "onFatal");
    return this;
  }

  /**
   * Sets timeouts and limits.
   *
   * @param value the options
   * @return this builder
   */
  public ReplicatedLogBuilder options(LogOptions value) {
    options = Objects.requireNonNull(value, "options");
    return this;
  }

  /** Replaces the file storage. */
  ReplicatedLogBuilder storage(StorageOpener value) {
    storage = value;
    return this;
  }

  /**
   * Builds the log without starting it.
   *
   * @return the log
   * @throws NullPointerException if member, folder, transport or state machine is missing
   */
  public ReplicatedLog build() {
    LogSettings settings =
        new LogSettings(member, seeds, folder, transport, machine, listener, onFatal, options);
    return new LogRuntime(settings, storage);
  }
}
