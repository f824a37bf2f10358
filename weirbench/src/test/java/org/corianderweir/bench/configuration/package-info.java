/** Changes of the configuration against a platform that fails. */
package org.corianderweir.bench.configuration;
