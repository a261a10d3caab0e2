package pearusher.sitesettings;

/** Thrown if a setting or a configuration key is missing or unusable; the message names it. */
public class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; the text is shown to the operator. */
  public SettingsException(String text) {
    super(text);
  }
}
