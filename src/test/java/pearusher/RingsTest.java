package pearusher;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * The three rings: decisions use no machinery, machinery no hands; what docs/design.md draws holds.
 */
class RingsTest {
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("pearusher");
  private static final String[] DECISIONS = {
    "pearusher", "pearusher.recovery..", "pearusher.intake.."
  };
  private static final String[] MACHINERY = {
    "pearusher.store..", "pearusher.serve..", "pearusher.adapter..", "pearusher.settings.."
  };
  private static final String[] HANDS = {"pearusher.cli..", "pearusher.conf.."};

  @Test
  void decisionsUseNoMachinery() {
    noClasses()
        .that()
        .resideInAnyPackage(DECISIONS)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(MACHINERY)
        .check(ALL);
    noClasses()
        .that()
        .resideInAnyPackage(DECISIONS)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(HANDS)
        .check(ALL);
  }

  /** Free of I/O, threads and clocks; bytes in memory are no I/O. */
  @Test
  void decisionsDoNoInputOrOutput() {
    noClasses()
        .that()
        .resideInAnyPackage(DECISIONS)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.nio.file..",
            "java.nio.channels..",
            "java.net..",
            "java.util.concurrent..",
            "org.eclipse..",
            "org.tinylog..")
        .check(ALL);
    noClasses()
        .that()
        .resideInAnyPackage(DECISIONS)
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, java.time.Clock.class)
        .check(ALL);
  }

  @Test
  void machineryUsesNoHandsAndTheStoreKnowsNobody() {
    noClasses()
        .that()
        .resideInAnyPackage(MACHINERY)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(HANDS)
        .check(ALL);
    noClasses()
        .that()
        .resideInAPackage("pearusher.store..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "pearusher", "pearusher.serve..", "pearusher.recovery..", "pearusher.settings..")
        .check(ALL);
    slices().matching("pearusher.(*)..").should().beFreeOfCycles().check(ALL);
  }
}
