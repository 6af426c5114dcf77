package io.jacinthquay.consensus;

import io.jacinthquay.consensus.storage.FileLogStorage;
import java.io.IOException;
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
  private FolderPreparation preparation = () -> {};
  private StorageOpener storage = FileLogStorage::open;

  /** Prepares a data folder. */
  @FunctionalInterface
  public interface FolderPreparation {
    /**
     * Prepares the folder, which may not exist yet.
     *
     * @throws IOException if the disk fails
     */
    void run() throws IOException;
  }

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

  /**
   * Sets what is run before each opening of the data folder. If it fails, the replica takes no part
   * and tries again, as if the folder couldn't be opened.
   *
   * @param value prepares the folder
   * @return this builder
   */
  public ReplicatedLogBuilder beforeOpening(FolderPreparation value) {
    preparation = Objects.requireNonNull(value, "preparation");
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
    return new LogRuntime(settings, prepared(preparation, storage));
  }

  private static StorageOpener prepared(FolderPreparation preparation, StorageOpener opener) {
    return (folder, member, segmentBytes) -> {
      try {
        preparation.run();
      } catch (IOException e) {
        String detail = folder + " can't be prepared: " + e;
        throw new LogException(LogFailure.of(LogError.STORAGE_FAILED, detail), e);
      }
      return opener.open(folder, member, segmentBytes);
    };
  }
}
