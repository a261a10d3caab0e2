package pearusher.server;

import java.util.Map;
import java.util.TreeMap;

/** Table of a proxy for one request class. The level and retry mode are null until one is sent. */
public final class AppliedTable {
  public Map<String, Float> weights = new TreeMap<>();
  public Float level;
  public Integer retry;

  @Override
  public String toString() {
    return weights + " level " + level + " retry " + retry;
  }
}
