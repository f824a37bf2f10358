/** The contract of the platform's service, which the fake and the stand-in both keep. */
package org.corianderweir.bench.platform;
