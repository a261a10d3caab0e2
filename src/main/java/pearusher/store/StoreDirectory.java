package pearusher.store;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** The logs and checkpoints of a directory, with the contents of their preambles. */
final class StoreDirectory {
  /** The store id of a directory without store files. */
  static final long NO_STORE_ID = 0;

  private final Disk disk;
  private final List<StoreFile> checkpoints = new ArrayList<>();
  private final List<StoreFile> logs = new ArrayList<>();
  private long storeId = NO_STORE_ID;

  private StoreDirectory(Disk disk) {
    this.disk = disk;
  }

  /**
   * Reads the names and preambles of a directory.
   *
   * @param belowSerial logs with this serial number or a higher one are ignored
   * @throws StoreException if the directory can't be read, or contains files in a newer format or
   *     files of several stores
   */
  static StoreDirectory scan(Disk disk, long belowSerial) throws IOException {
    StoreDirectory directory = new StoreDirectory(disk);
    directory.addFiles(belowSerial);
    directory.checkpoints.sort(Comparator.comparingLong(StoreFile::number).reversed());
    directory.logs.sort(Comparator.comparingLong(StoreFile::number));
    return directory;
  }

  /** Returns the checkpoints, newest first. */
  List<StoreFile> checkpoints() {
    return checkpoints;
  }

  /** Returns the logs in the order in which they were written. */
  List<StoreFile> logs() {
    return logs;
  }

  long storeId() {
    return storeId;
  }

  private void addFiles(long belowSerial) throws IOException {
    for (String name : fileNames()) {
      OptionalLong checkpoint = StoreFiles.checkpointSequence(name);
      OptionalLong serial = StoreFiles.logSerial(name);
      if (checkpoint.isPresent()) {
        checkpoints.add(readFile(name, checkpoint.getAsLong(), FilePreamble.Kind.CHECKPOINT));
      } else if (serial.isPresent() && serial.getAsLong() < belowSerial) {
        logs.add(readFile(name, serial.getAsLong(), FilePreamble.Kind.LOG));
      }
    }
  }

  private List<String> fileNames() throws StoreException {
    try {
      return disk.list();
    } catch (IOException e) {
      throw new StoreException(
          StoreException.Reason.ABSENT,
          "store " + disk.describe() + " can't be read: " + e.getMessage(),
          e);
    }
  }

  private StoreFile readFile(String name, long number, FilePreamble.Kind kind) throws IOException {
    byte[] head;
    try (InputStream input = disk.open(name)) {
      head = input.readNBytes(FilePreamble.LENGTH);
    }
    Optional<FilePreamble> preamble = FilePreamble.decode(head);
    if (preamble.isPresent()) {
      checkFormat(name, preamble.get());
    }
    if (preamble.isEmpty() || !preamble.get().hasKind(kind)) {
      return new StoreFile(name, number, OptionalLong.empty(), disk.size(name));
    }
    checkStoreId(name, preamble.get());
    storeId = preamble.get().storeId();
    long sequence = preamble.get().firstSequence();
    OptionalLong validSequence = sequence < 0 ? OptionalLong.empty() : OptionalLong.of(sequence);
    return new StoreFile(name, number, validSequence, disk.size(name));
  }

  private void checkFormat(String name, FilePreamble preamble) throws StoreException {
    if (preamble.format() > FilePreamble.FORMAT) {
      throw new StoreException(
          StoreException.Reason.NEWER,
          "store "
              + disk.describe()
              + ": "
              + name
              + " has format "
              + preamble.format()
              + ", but this version reads formats up to "
              + FilePreamble.FORMAT
              + "; use the newer version that wrote it");
    }
  }

  private void checkStoreId(String name, FilePreamble preamble) throws StoreException {
    if (storeId != NO_STORE_ID && storeId != preamble.storeId()) {
      throw new StoreException(
          StoreException.Reason.DAMAGED,
          "store "
              + disk.describe()
              + ": "
              + name
              + " belongs to another store than the other files; remove the files of one of them");
    }
  }
}
