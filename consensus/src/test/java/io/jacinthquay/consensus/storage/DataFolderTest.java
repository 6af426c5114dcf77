package io.jacinthquay.consensus.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class DataFolderTest {
  @TempDir private Path folder;

  private List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(file -> file.getFileName().toString()).sorted().toList();
    }
  }

  @Test
  void erasureThatFailedHalfwayIsFinishedLater() throws IOException {
    Files.writeString(folder.resolve("identity"), "a");
    Files.writeString(folder.resolve("hard-state"), "a");
    Path log = Files.createDirectory(folder.resolve("erasing"));
    Files.writeString(log.resolve("blocks the marker"), "a");
    DataFolder data = new DataFolder(folder);
    assertThrows(IOException.class, data::erase);
    assertTrue(names().contains("identity"));
    Files.delete(log.resolve("blocks the marker"));
    Files.delete(log);
    Files.writeString(folder.resolve("erasing"), "");
    new DataFolder(folder).finishErasure();
    assertEquals(List.of(), names());
  }

  @Test
  void keepsDataThatIsNotBeingErased() throws IOException {
    Files.writeString(folder.resolve("identity"), "a");
    new DataFolder(folder).finishErasure();
    assertEquals(List.of("identity"), names());
  }

  @Test
  void folderNeedNotExist() throws IOException {
    new DataFolder(folder.resolve("absent")).finishErasure();
    assertEquals(List.of(), names());
  }
}
