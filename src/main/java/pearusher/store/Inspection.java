package pearusher.store;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a directory holds, read without its lock and without a change.
 *
 * @param damage empty for none
 */
public record Inspection(
    Map<String, byte[]> state, long sequence, String damage, Map<String, Object> fields) {

  /**
   * Reads a directory as a start would.
   *
   * @throws StoreException if there is no store, or one of a newer program
   */
  public static Inspection of(Disk disk) throws IOException {
    SegmentedLog.Found found = SegmentedLog.readWhileOpen(disk);
    if (found.store() == 0 && found.damage().isEmpty()) {
      throw new StoreException(StoreException.Reason.ABSENT, "no store in " + disk.describe());
    }
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("store", String.format("%016x", found.store()));
    out.put("format", LogRecord.FORMAT);
    out.put("sequence", found.sequence());
    out.put("confirmed", found.confirmed());
    out.put("keys", found.state().size());
    out.put("checkpoints", found.checkpoints().size());
    out.put("logs", found.logs().size());
    out.put("log_bytes", found.logs().stream().mapToLong(SegmentedLog.Part::bytes).sum());
    out.put("log_batches", found.batches());
    out.put("closed", found.closed() ? "in order" : "no: in use, or killed");
    out.put("cut_bytes", found.cutBytes());
    out.put("cut_records", found.cutFrames());
    out.put("copy", found.state().containsKey(Store.COPIED) ? "yes" : "no");
    out.put("damage", found.damage().isEmpty() ? "none" : found.damage());
    return new Inspection(found.state(), found.sequence(), found.damage(), out);
  }
}
