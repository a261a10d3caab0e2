package pearusher.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** Backups: copies of a directory, and of a backup into a store's place. */
public final class StoreCopy {
  /**
   * The key that marks a copy, so that a start can tell that later batches may be in force; its
   * value is the last sequence of the copy.
   */
  public static final String MARKER_KEY = "!copied";

  private StoreCopy() {}

  /**
   * Writes a copy of what a directory holds, which may be open elsewhere: one checkpoint, marked as
   * a copy.
   *
   * @param target an empty directory
   * @return the last sequence of the copy
   * @throws StoreException if there is no store to copy, or it is damaged, or the target holds
   *     files
   */
  public static long write(Disk source, Disk target) throws IOException {
    StoreContents contents = StoreReader.readWhileOpen(source);
    if (!contents.hasStore()) {
      throw new StoreException(StoreException.Reason.ABSENT, "no store in " + source.describe());
    }
    if (contents.isDamaged()) {
      throw new StoreException(
          StoreException.Reason.DAMAGED,
          "store " + source.describe() + " is damaged: " + contents.damage());
    }
    checkIsEmpty(target);
    byte[] marker = ByteBuffer.allocate(Long.BYTES).putLong(contents.sequence()).array();
    contents.state().put(MARKER_KEY, marker);
    new CheckpointWriter(target, Store.newId()).write(contents.sequence(), contents.state());
    return contents.sequence();
  }

  private static void checkIsEmpty(Disk target) throws IOException {
    List<String> files = target.list();
    if (!files.isEmpty()) {
      throw new StoreException(
          StoreException.Reason.ABSENT,
          target.describe() + " is not empty (" + files.get(0) + "); name an empty directory");
    }
  }
}
