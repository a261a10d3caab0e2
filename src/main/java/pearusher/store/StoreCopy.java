package pearusher.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** Writes copies of a store, to make a backup and to restore one. */
public final class StoreCopy {
  /**
   * The key that marks a copy. It tells a start that batches may have been committed after the copy
   * was made. Its value is the last sequence of the copy.
   */
  public static final String MARKER_KEY = "!copied";

  private StoreCopy() {}

  /**
   * Writes a copy of a store to another directory, as one checkpoint that is marked as a copy. The
   * store may be open in another process.
   *
   * @param target an empty directory
   * @return the last sequence of the copy
   * @throws StoreException if there is no store to copy, the store is damaged, or the target is not
   *     empty
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
    new CheckpointWriter(target, Store.randomStoreId())
        .write(contents.sequence(), contents.state());
    return contents.sequence();
  }

  private static void checkIsEmpty(Disk target) throws IOException {
    List<String> files = target.list();
    if (!files.isEmpty()) {
      throw new StoreException(
          StoreException.Reason.ABSENT,
          target.describe() + " is not empty: found " + files.get(0) + "; use an empty directory");
    }
  }
}
