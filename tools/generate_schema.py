"""Generate the typed dictionaries of the schemas, or check that they are current."""

import pathlib
import sys
import tempfile

import click
import datamodel_code_generator as generator
from datamodel_code_generator import format as generator_format

SCHEMA_DIRECTORY = pathlib.Path(__file__).parents[1] / "src/wasabivalve/schema"


def render(schema_path: pathlib.Path) -> str:
    """Return the source of the generated module of one schema."""
    with tempfile.TemporaryDirectory() as directory:
        output = pathlib.Path(directory) / "generated.py"
        generator.generate(
            schema_path,
            input_file_type=generator.InputFileType.JsonSchema,
            output=output,
            output_model_type=generator.DataModelType.TypingTypedDict,
            target_python_version=generator_format.PythonVersion.PY_311,
            use_schema_description=True,
            disable_timestamp=True,
            formatters=[generator_format.Formatter.RUFF_FORMAT],
        )
        return output.read_text()


@click.command()
@click.option("--check", is_flag=True, help="Fail when a generated file is stale.")
def main(check: bool) -> None:
    """Generate one Python module for each JSON schema."""
    stale_names = []
    for schema_path in sorted(SCHEMA_DIRECTORY.glob("*.json")):
        module_path = schema_path.with_name(f"{schema_path.stem}_generated.py")
        source = render(schema_path)
        if module_path.exists() and module_path.read_text() == source:
            continue
        if check:
            stale_names.append(module_path.name)
        else:
            module_path.write_text(source)
    for name in stale_names:
        click.echo(f"{name} is stale: run tools/generate_schema.py", err=True)
    sys.exit(1 if stale_names else 0)


if __name__ == "__main__":
    main()
