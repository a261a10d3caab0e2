package pearusher.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A temporary directory that is deleted with its contents when it is closed. */
final class BenchDirectory implements AutoCloseable {
  private final Path path;

  private BenchDirectory(Path path) {
    this.path = path;
  }

  static BenchDirectory create(Path parent, String prefix) throws IOException {
    return new BenchDirectory(Files.createTempDirectory(parent, prefix));
  }

  Path path() {
    return path;
  }

  @Override
  public void close() throws IOException {
    List<Path> deepestFirst;
    try (Stream<Path> files = Files.walk(path)) {
      deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path file : deepestFirst) {
      Files.delete(file);
    }
  }
}
