package org.corianderweir.bench.deployment;

import java.io.File;
import java.util.List;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/** Finds the deployment files of the project. */
public final class DeploymentFiles {
  private static final List<String> DIRECTORIES = List.of("deployments", "../deployments");

  private DeploymentFiles() {}

  /**
   * Reads the deployment file with the given name, without its extension.
   *
   * @throws WeirException with code {@code SETTINGS_INVALID} if there is no such file or it is
   *     invalid
   */
  public static Deployment read(String name) {
    return DIRECTORIES.stream()
        .map(directory -> new File(directory, name + ".ini"))
        .filter(File::exists)
        .findFirst()
        .map(DeploymentReader::read)
        .orElseThrow(
            () -> new WeirException(ErrorCode.SETTINGS_INVALID, "no deployment file for " + name));
  }
}
