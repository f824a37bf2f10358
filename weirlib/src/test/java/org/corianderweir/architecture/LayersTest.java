package org.corianderweir.architecture;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.testng.annotations.Test;

/** Checks that each layer of the library depends only on the layers below it. */
public class LayersTest {
  @Test
  public void layersDependDownwardsOnly() {
    JavaClasses classes =
        new ClassFileImporter()
            .withImportOption(location -> !location.contains("/test-classes/"))
            .importPackages("org.corianderweir");
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("model")
        .definedBy("org.corianderweir.model..")
        .layer("logic")
        .definedBy("org.corianderweir.logic..")
        .layer("kernel")
        .definedBy("org.corianderweir.kernel..")
        .layer("protocol")
        .definedBy("org.corianderweir.protocol..")
        .layer("coordination")
        .definedBy("org.corianderweir.coordination..")
        .whereLayer("model")
        .mayNotAccessAnyLayer()
        .whereLayer("logic")
        .mayOnlyAccessLayers("model")
        .whereLayer("kernel")
        .mayOnlyAccessLayers("model")
        .whereLayer("protocol")
        .mayOnlyAccessLayers("model", "logic")
        .whereLayer("coordination")
        .mayOnlyAccessLayers("model", "logic", "protocol")
        .check(classes);
  }
}
