package io.jacinthquay.consensus;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A state machine that records all commands in order and returns their count. */
final class RecordingStateMachine implements StateMachine {
  private final List<String> commands = new ArrayList<>();
  private int restores;

  @Override
  public synchronized byte[] apply(long index, byte[] command) {
    commands.add(new String(command, StandardCharsets.UTF_8));
    return Integer.toString(commands.size()).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public synchronized SnapshotWriter snapshot() {
    List<String> view = List.copyOf(commands);
    return out -> {
      DataOutputStream data = new DataOutputStream(out);
      data.writeInt(view.size());
      for (String command : view) {
        byte[] bytes = command.getBytes(StandardCharsets.UTF_8);
        data.writeInt(bytes.length);
        data.write(bytes);
      }
      data.flush();
    };
  }

  @Override
  public synchronized void restore(long index, InputStream in) throws IOException {
    DataInputStream data = new DataInputStream(in);
    commands.clear();
    int count = data.readInt();
    for (int i = 0; i < count; i++) {
      commands.add(new String(data.readNBytes(data.readInt()), StandardCharsets.UTF_8));
    }
    restores++;
  }

  synchronized List<String> commands() {
    return List.copyOf(commands);
  }

  synchronized int restores() {
    return restores;
  }
}
