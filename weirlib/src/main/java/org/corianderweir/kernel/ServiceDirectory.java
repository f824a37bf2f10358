package org.corianderweir.kernel;

/** Finds services by name. */
public interface ServiceDirectory {
  /**
   * Returns a service.
   *
   * @throws org.corianderweir.model.WeirException with code {@code SERVICE_UNKNOWN} if nobody
   *     registered the name with that type
   */
  <T> T find(ServiceName<T> name);
}
