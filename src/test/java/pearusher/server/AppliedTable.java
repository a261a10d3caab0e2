package pearusher.server;

import java.util.Map;
import java.util.TreeMap;

/** What a proxy holds for one request class; no level where it was sent none. */
public final class AppliedTable {
  public Map<String, Float> weights = new TreeMap<>();
  public Float level;
  public Integer retry;

  @Override
  public String toString() {
    return weights + " level " + level + " retry " + retry;
  }
}
