package pearusher.store;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The contents of a store directory, read without locking or changing it.
 *
 * @param state all values by key
 * @param sequence sequence of the last batch that is included in the state
 * @param damage description of the confirmed records that can't be read; empty if there are none
 * @param fields the printed fields by name, in the order in which they are printed
 */
public record Inspection(
    Map<String, byte[]> state, long sequence, String damage, Map<String, Object> fields) {

  /**
   * Reads a directory in the way that opening the store does.
   *
   * @throws StoreException if the directory contains no store, or one in a newer format
   */
  public static Inspection of(Disk disk) throws IOException {
    StoreContents contents = StoreReader.readWhileOpen(disk);
    if (!contents.hasStore() && !contents.isDamaged()) {
      throw new StoreException(StoreException.Reason.ABSENT, "no store in " + disk.describe());
    }
    return new Inspection(
        contents.state(), contents.sequence(), contents.damage(), fields(contents));
  }

  private static Map<String, Object> fields(StoreContents contents) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("store", String.format("%016x", contents.storeId()));
    fields.put("format", FilePreamble.FORMAT);
    fields.put("sequence", contents.sequence());
    fields.put("confirmed", contents.confirmed());
    fields.put("keys", contents.state().size());
    fields.put("checkpoints", contents.checkpoints().size());
    fields.put("logs", contents.logs().size());
    fields.put("log_bytes", contents.logBytes());
    fields.put("log_batches", contents.batches());
    fields.put("closed", contents.isClosed() ? "in order" : "no: in use, or killed");
    fields.put("cut_bytes", contents.truncation().bytes());
    fields.put("cut_records", contents.truncation().records());
    fields.put("copy", contents.state().containsKey(StoreCopy.MARKER_KEY) ? "yes" : "no");
    fields.put("damage", contents.isDamaged() ? contents.damage() : "none");
    return fields;
  }
}
